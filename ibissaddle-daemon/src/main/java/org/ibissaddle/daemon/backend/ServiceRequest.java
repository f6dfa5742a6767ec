package org.ibissaddle.daemon.backend;

import java.util.Map;

/**
 * A request to a plain service.
 *
 * @param method HTTP method in upper case
 * @param target path and query
 * @param headers header fields
 * @param body the body; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record ServiceRequest(String method, String target, Map<String, String> headers, byte[] body) {}
