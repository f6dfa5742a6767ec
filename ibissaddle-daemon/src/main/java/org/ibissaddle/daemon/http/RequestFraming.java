package org.ibissaddle.daemon.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;

/** Checks that the length of a request's body is unambiguous: given by a length or by chunks, but not by both. */
public final class RequestFraming {
    private RequestFraming() {}

    /**
     * An error in the framing of a request, after which nothing that follows on the connection can be read.
     *
     * @param status status of the response: 400, or 501 if the body is chunked but coded in an unsupported way as well
     * @param reason what is wrong
     */
    public record FramingError(HttpResponseStatus status, String reason) {}

    /**
     * Checks the head of a request.
     *
     * @param head the head
     * @return the error, empty if the framing is valid
     */
    public static Optional<FramingError> check(HttpRequest head) {
        if (!head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            return Optional.empty();
        }
        if (head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            return malformed("both Content-Length and Transfer-Encoding");
        }
        if (head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0) {
            return malformed("Transfer-Encoding in HTTP/1.0");
        }
        List<String> codings = TransferCodings.of(head);
        boolean chunkedOnceAtEnd = codings.indexOf(TransferCodings.CHUNKED) == codings.size() - 1;
        if (codings.isEmpty() || !chunkedOnceAtEnd) {
            return malformed("the final transfer coding is not chunked");
        }
        if (codings.size() > 1) {
            return Optional.of(
                    new FramingError(HttpResponseStatus.NOT_IMPLEMENTED, "unsupported transfer coding before chunked"));
        }
        return Optional.empty();
    }

    private static Optional<FramingError> malformed(String reason) {
        return Optional.of(new FramingError(HttpResponseStatus.BAD_REQUEST, reason));
    }
}
