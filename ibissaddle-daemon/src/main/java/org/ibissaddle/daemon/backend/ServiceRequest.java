package org.ibissaddle.daemon.backend;

import java.util.Map;

/**
 * A call to be sent to a plain service.
 *
 * @param method HTTP method, upper case
 * @param target path and query
 * @param headers header fields
 * @param body the body, not to be changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record ServiceRequest(String method, String target, Map<String, String> headers, byte[] body) {}
