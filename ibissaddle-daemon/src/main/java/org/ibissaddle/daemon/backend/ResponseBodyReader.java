package org.ibissaddle.daemon.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import okhttp3.MediaType;
import okhttp3.Response;
import org.ibissaddle.id.ServerId;

/** Reads the body of a response into memory. */
final class ResponseBodyReader {
    private static final ObjectMapper JSON = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private ResponseBodyReader() {}

    /**
     * Reads a body. A response without a length or chunks also ends when its server closes the connection early, so its
     * body must be a whole value if it is JSON.
     */
    static byte[] read(ServerId server, Response response, long maxBytes) throws IOException, UnusableBodyException {
        if (response.body().source().request(maxBytes)) {
            throw new UnusableBodyException(server, "exceeds " + maxBytes + " bytes");
        }
        byte[] body = response.body().bytes();
        if (!isFramed(response) && isJson(response) && !isWholeValue(body)) {
            throw new UnusableBodyException(server, "ends inside a JSON value");
        }
        return body;
    }

    private static boolean isFramed(Response response) {
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
