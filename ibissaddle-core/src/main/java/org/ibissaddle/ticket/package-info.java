/**
 * Tickets for calls that must run at most once. A ticket names the instance and incarnation that may run the call.
 *
 * <pre>{@code
 * TicketCodec codec = TicketCodec.withKey(DeploymentKey.of(secret));
 * String text = codec.write(ticket);
 * Ticket read = codec.read(text);
 * }</pre>
 */
package org.ibissaddle.ticket;
