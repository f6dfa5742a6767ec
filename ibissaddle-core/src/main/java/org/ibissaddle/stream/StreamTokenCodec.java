package org.ibissaddle.stream;

import java.util.List;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.InvalidIdentifierException;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.ticket.DeploymentKey;
import org.ibissaddle.ticket.SignedFieldsCodec;
import org.ibissaddle.ticket.TicketException;

/** Encodes stream tokens as signed text and decodes them. */
public final class StreamTokenCodec {
    private static final int FIELD_COUNT = 7;

    private final SignedFieldsCodec signedFields;

    /**
     * Creates a codec.
     *
     * @param key signing key of the deployment
     */
    public StreamTokenCodec(DeploymentKey key) {
        signedFields = new SignedFieldsCodec(key, "stream token");
    }

    /**
     * Encodes a token.
     *
     * @param token the token
     * @return signed, URL-safe text
     */
    public String write(StreamToken token) {
        return signedFields.write(List.of(
                token.instance().toString(),
                token.server().toString(),
                token.request().toString(),
                Integer.toString(token.attempt()),
                Long.toString(token.offset(), Character.MAX_RADIX),
                token.workspace().toString(),
                Long.toString(token.deadlineMs(), Character.MAX_RADIX)));
    }

    /**
     * Decodes a token and verifies its signature.
     *
     * @param written encoded token
     * @return the token
     * @throws TicketException if the text is malformed or not signed with the key of this deployment
     */
    public StreamToken read(String written) throws TicketException {
        List<String> fields = signedFields.read(written, FIELD_COUNT);
        try {
            return new StreamToken(
                    new InstanceId(fields.get(0)),
                    new ServerId(fields.get(1)),
                    new RequestId(fields.get(2)),
                    Integer.parseInt(fields.get(3)),
                    Long.parseLong(fields.get(4), Character.MAX_RADIX),
                    new WorkspaceId(fields.get(5)),
                    Long.parseLong(fields.get(6), Character.MAX_RADIX));
        } catch (InvalidIdentifierException | NumberFormatException e) {
            throw new TicketException(TicketException.Reason.MALFORMED, "stream token: " + e.getMessage());
        }
    }
}
