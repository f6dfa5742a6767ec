package org.ibissaddle.ticket;

import java.util.List;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.InvalidNameException;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.WorkspaceId;

/** Writes tickets as signed text and reads them back. */
public final class Tickets {
    private static final int FIELDS = 7;

    private final SignedFields text;

    private Tickets(DeploymentKey key) {
        text = new SignedFields(key, "ticket");
    }

    /**
     * Makes a reader and writer.
     *
     * @param key key of the deployment
     * @return reader and writer of tickets
     */
    public static Tickets signedWith(DeploymentKey key) {
        return new Tickets(key);
    }

    /**
     * Writes a ticket.
     *
     * @param ticket the ticket
     * @return URL-safe text
     */
    public String write(Ticket ticket) {
        return text.write(List.of(
                ticket.key(),
                ticket.pool().toString(),
                ticket.workspace().toString(),
                ticket.call(),
                ticket.owner().toString(),
                ticket.incarnation().toString(),
                Long.toString(ticket.deadlineMs(), Character.MAX_RADIX)));
    }

    /**
     * Reads a ticket.
     *
     * @param written text of a ticket
     * @return the ticket
     * @throws TicketException when the text is not a ticket of this deployment
     */
    public Ticket read(String written) throws TicketException {
        List<String> fields = text.read(written, FIELDS);
        try {
            return new Ticket(
                    fields.get(0),
                    new PoolId(fields.get(1)),
                    new WorkspaceId(fields.get(2)),
                    fields.get(3),
                    new InstanceId(fields.get(4)),
                    Incarnation.parse(fields.get(5)),
                    Long.parseLong(fields.get(6), Character.MAX_RADIX));
        } catch (InvalidNameException | NumberFormatException e) {
            throw new TicketException(TicketException.Reason.MALFORMED, "ticket: " + e.getMessage());
        }
    }
}
