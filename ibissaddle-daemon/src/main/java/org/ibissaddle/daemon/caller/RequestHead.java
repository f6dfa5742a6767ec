package org.ibissaddle.daemon.caller;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Request line and header fields of an HTTP request.
 *
 * @param method HTTP method in upper case
 * @param path path without the query string
 * @param query query string without the question mark, empty if absent
 * @param headers header fields
 */
public record RequestHead(String method, String path, String query, HttpHeaders headers) {
    /**
     * Returns the value of a header field.
     *
     * @param name name of the field
     * @return the first value, or empty if the field is absent
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /**
     * Returns the declared length of the body.
     *
     * @return length in bytes, or empty if it is not declared or not a number
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
