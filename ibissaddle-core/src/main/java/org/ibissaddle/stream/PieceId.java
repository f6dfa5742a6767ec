package org.ibissaddle.stream;

import java.util.Optional;
import org.ibissaddle.id.InvalidNameException;
import org.ibissaddle.id.RequestId;

/**
 * Position of a piece in an answer.
 *
 * @param request request that is answered
 * @param attempt attempt that generated the piece, from 0
 * @param offset position of its first UTF-16 unit in the whole answer
 */
public record PieceId(RequestId request, int attempt, long offset) {
    /**
     * Reads {@code request/attempt/offset}.
     *
     * @param text id of a server-sent event, possibly null
     * @return the position, empty when the text is not of that form
     */
    public static Optional<PieceId> parse(String text) {
        String[] parts = text == null ? new String[0] : text.split("/", -1);
        if (parts.length != 3) {
            return Optional.empty();
        }
        try {
            int attempt = Integer.parseInt(parts[1]);
            long offset = Long.parseLong(parts[2]);
            return attempt < 0 || offset < 0
                    ? Optional.empty()
                    : Optional.of(new PieceId(new RequestId(parts[0]), attempt, offset));
        } catch (InvalidNameException | NumberFormatException e) {
            return Optional.empty();
        }
    }
}
