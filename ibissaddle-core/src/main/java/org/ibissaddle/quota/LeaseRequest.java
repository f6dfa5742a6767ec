package org.ibissaddle.quota;

import java.util.List;
import org.ibissaddle.id.WorkspaceId;

/**
 * Request of an instance for tokens of a workspace.
 *
 * @param workspace the workspace
 * @param waiting costs of the first waiting requests, in the order of their arrival; tokens are granted for whole
 *     requests, as a part of a request's cost is of no use
 * @param ahead tokens that the instance expects to need soon
 * @param rejected tokens of the requests that the instance has rejected since its last lease request
 */
public record LeaseRequest(WorkspaceId workspace, List<Long> waiting, long ahead, long rejected) {
    /** Makes a defensive copy of the list. */
    public LeaseRequest {
        waiting = List.copyOf(waiting);
    }
}
