package org.ibissaddle.daemon.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import okhttp3.MediaType;
import okhttp3.Response;
import org.ibissaddle.id.ServerId;

/** Reads the body of a response into memory. */
final class ResponseBodyReader {
    /** Start of another response; servers may answer twice. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}[ \r]");

    private static final ObjectMapper JSON = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private ResponseBodyReader() {}

    /**
     * Reads a body. A response without a length or chunks also ends when its server closes the connection early, so its
     * body must be a whole value if it is JSON. All that its server sends until then is taken for its body, so one that
     * isn't JSON must not contain another response.
     */
    static byte[] read(ServerId server, Response response, long maxBytes) throws IOException, UnusableBodyException {
        if (response.body().source().request(maxBytes)) {
            throw new UnusableBodyException(server, "exceeds " + maxBytes + " bytes");
        }
        byte[] body = response.body().bytes();
        if (isFramed(response)) {
            return body;
        }
        if (isJson(response)) {
            if (!isWholeValue(body)) {
                throw new UnusableBodyException(server, "ends inside a JSON value");
            }
        } else if (containsResponse(body)) {
            throw new UnusableBodyException(server, "is followed by another response");
        }
        return body;
    }

    private static boolean containsResponse(byte[] body) {
        return STATUS_LINE
                .matcher(new String(body, StandardCharsets.ISO_8859_1))
                .find();
    }

    /** Returns whether the end of a body differs from the end of its connection. */
    static boolean isFramed(Response response) {
        return response.header("Content-Length") != null
                || response.header("Transfer-Encoding") != null
                || response.code() == 204
                || response.request().method().equals("HEAD");
    }

    private static boolean isJson(Response response) {
        MediaType type = response.body().contentType();
        return type != null && (type.subtype().equals("json") || type.subtype().endsWith("+json"));
    }

    private static boolean isWholeValue(byte[] body) throws IOException {
        try {
            return !JSON.readTree(body).isMissingNode();
        } catch (JsonProcessingException e) {
            return false;
        }
    }
}
