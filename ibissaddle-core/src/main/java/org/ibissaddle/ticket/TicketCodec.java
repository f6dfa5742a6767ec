package org.ibissaddle.ticket;

import java.util.List;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.InvalidIdentifierException;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.WorkspaceId;

/** Encodes tickets as signed text and decodes them. */
public final class TicketCodec {
    private static final int FIELD_COUNT = 7;

    private final SignedFieldsCodec codec;

    private TicketCodec(DeploymentKey key) {
        codec = new SignedFieldsCodec(key, "ticket");
    }

    /**
     * Creates a ticket codec.
     *
     * @param key the deployment key
     * @return a codec that signs and verifies with the key
     */
    public static TicketCodec withKey(DeploymentKey key) {
        return new TicketCodec(key);
    }

    /**
     * Encodes and signs a ticket.
     *
     * @param ticket the ticket
     * @return the signed, URL-safe text
     */
    public String write(Ticket ticket) {
        return codec.write(List.of(
                ticket.key(),
                ticket.pool().toString(),
                ticket.workspace().toString(),
                ticket.call(),
                ticket.owner().toString(),
                ticket.incarnation().toString(),
                Long.toString(ticket.deadlineMs(), Character.MAX_RADIX)));
    }

    /**
     * Verifies and decodes a ticket.
     *
     * @param written the signed text
     * @return the ticket
     * @throws TicketException when the text is not a ticket of this deployment
     */
    public Ticket read(String written) throws TicketException {
        List<String> fields = codec.read(written, FIELD_COUNT);
        try {
            return new Ticket(
                    fields.get(0),
                    new PoolId(fields.get(1)),
                    new WorkspaceId(fields.get(2)),
                    fields.get(3),
                    new InstanceId(fields.get(4)),
                    Incarnation.parse(fields.get(5)),
                    Long.parseLong(fields.get(6), Character.MAX_RADIX));
        } catch (InvalidIdentifierException | NumberFormatException e) {
            throw new TicketException(TicketException.Reason.MALFORMED, "ticket: " + e.getMessage());
        }
    }
}
