package org.ibissaddle.stream;

import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.WorkspaceId;

/**
 * Position from which a streamed response can be resumed. Sent to the caller with every event.
 *
 * @param instance instance that relays the response
 * @param server engine that generates the response
 * @param request id of the stream at the engine
 * @param attempt attempt that generates the response
 * @param offset number of characters that the caller has received, including this event
 * @param workspace workspace of the request
 * @param deadlineMs deadline of the caller in epoch milliseconds
 */
public record StreamToken(
        InstanceId instance,
        ServerId server,
        RequestId request,
        int attempt,
        long offset,
        WorkspaceId workspace,
        long deadlineMs) {}
