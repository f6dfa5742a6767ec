package org.ibissaddle.stream;

import java.util.List;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.InvalidNameException;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.ticket.DeploymentKey;
import org.ibissaddle.ticket.SignedFields;
import org.ibissaddle.ticket.TicketException;

/** Writes stream tokens as signed text and reads them back. */
public final class StreamTokens {
    private static final int FIELDS = 7;

    private final SignedFields text;

    /**
     * Makes a reader and writer.
     *
     * @param key key of the deployment
     */
    public StreamTokens(DeploymentKey key) {
        text = new SignedFields(key, "stream token");
    }

    /**
     * Writes a token.
     *
     * @param token the token
     * @return URL-safe text
     */
    public String write(StreamToken token) {
        return text.write(List.of(
                token.instance().toString(),
                token.server().toString(),
                token.request().toString(),
                Integer.toString(token.attempt()),
                Long.toString(token.offset(), Character.MAX_RADIX),
                token.workspace().toString(),
                Long.toString(token.deadlineMs(), Character.MAX_RADIX)));
    }

    /**
     * Reads a token.
     *
     * @param written text of a token
     * @return the token
     * @throws TicketException when the text is not a token of this deployment
     */
    public StreamToken read(String written) throws TicketException {
        List<String> fields = text.read(written, FIELDS);
        try {
            return new StreamToken(
                    new InstanceId(fields.get(0)),
                    new ServerId(fields.get(1)),
                    new RequestId(fields.get(2)),
                    Integer.parseInt(fields.get(3)),
                    Long.parseLong(fields.get(4), Character.MAX_RADIX),
                    new WorkspaceId(fields.get(5)),
                    Long.parseLong(fields.get(6), Character.MAX_RADIX));
        } catch (InvalidNameException | NumberFormatException e) {
            throw new TicketException(TicketException.Reason.MALFORMED, "stream token: " + e.getMessage());
        }
    }
}
