package org.ibissaddle.quota;

import java.util.List;
import org.ibissaddle.id.InstanceId;

/**
 * Lease requests to one instance, sent in one message.
 *
 * @param issuer the instance
 * @param requests the lease requests, one for each workspace
 */
public record LeaseBatch(InstanceId issuer, List<LeaseRequest> requests) {
    /** Makes a defensive copy of the list. */
    public LeaseBatch {
        requests = List.copyOf(requests);
    }
}
