package org.ibissaddle.daemon.caller;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Start line and header fields of a caller's request.
 *
 * @param method HTTP method, upper case
 * @param path path without query
 * @param query query without question mark, empty when there is none
 * @param headers header fields
 */
public record RequestHead(String method, String path, String query, HttpHeaders headers) {
    /**
     * Reads a header field.
     *
     * @param name name of the field
     * @return its first value
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /**
     * Reads the declared length of the body.
     *
     * @return bytes, empty when none is declared or it is not a number
     */
    public OptionalLong contentLength() {
        String value = headers.get("content-length");
        if (value == null) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(Long.parseLong(value.trim()));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
