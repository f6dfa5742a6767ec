package org.ibissaddle.stream;

import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.WorkspaceId;

/**
 * Where an answer can be read on, sent with every event to the caller.
 *
 * @param instance instance that relays the answer
 * @param server engine that generates it
 * @param request name of the stream at the engine
 * @param attempt attempt that generates it
 * @param offset characters that the caller has with this event
 * @param workspace workspace of the request
 * @param deadlineMs when its caller gives up, epoch milliseconds
 */
public record StreamToken(
        InstanceId instance,
        ServerId server,
        RequestId request,
        int attempt,
        long offset,
        WorkspaceId workspace,
        long deadlineMs) {}
