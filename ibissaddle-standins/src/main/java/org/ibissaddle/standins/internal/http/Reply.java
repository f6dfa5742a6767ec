package org.ibissaddle.standins.internal.http;

import java.util.LinkedHashMap;
import java.util.Map;
import org.ibissaddle.standins.internal.JsonCodec;

/**
 * A complete HTTP response.
 *
 * @param status the status code
 * @param contentType the media type of the body
 * @param body the body bytes
 * @param headers additional headers
 */
@SuppressWarnings("ArrayRecordComponent")
public record Reply(int status, String contentType, byte[] body, Map<String, String> headers) {

    /** Creates a JSON reply. */
    public static Reply json(int status, Object value) {
        return new Reply(status, "application/json", JsonCodec.bytes(value), Map.of());
    }

    /** Creates a reply with a binary body. */
    public static Reply bytes(int status, byte[] body) {
        return new Reply(status, "application/octet-stream", body, Map.of());
    }

    /** Creates a reply without a body. */
    public static Reply empty(int status) {
        return bytes(status, new byte[0]);
    }

    /** Returns a copy with an additional header. */
    public Reply withHeader(String name, String value) {
        Map<String, String> extendedHeaders = new LinkedHashMap<>(headers);
        extendedHeaders.put(name, value);
        return new Reply(status, contentType, body, extendedHeaders);
    }
}
