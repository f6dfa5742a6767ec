package org.ibissaddle.stream;

import java.util.Optional;
import org.ibissaddle.id.InvalidIdentifierException;
import org.ibissaddle.id.RequestId;

/**
 * Position of a chunk in a streamed response.
 *
 * @param request id of the request
 * @param attempt attempt that generated the chunk, starting at 0
 * @param offset offset of its first UTF-16 code unit in the complete response
 */
public record ChunkPosition(RequestId request, int attempt, long offset) {
    /**
     * Parses a position of the form {@code request/attempt/offset}.
     *
     * @param text id of a server-sent event, may be null
     * @return the position, empty if the text is malformed
     */
    public static Optional<ChunkPosition> parse(String text) {
        String[] fields = text == null ? new String[0] : text.split("/", -1);
        if (fields.length != 3) {
            return Optional.empty();
        }
        try {
            int attempt = Integer.parseInt(fields[1]);
            long offset = Long.parseLong(fields[2]);
            return attempt < 0 || offset < 0
                    ? Optional.empty()
                    : Optional.of(new ChunkPosition(new RequestId(fields[0]), attempt, offset));
        } catch (InvalidIdentifierException | NumberFormatException e) {
            return Optional.empty();
        }
    }
}
