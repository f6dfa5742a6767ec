/**
 * Request tickets: which instance, in which incarnation, may run a call that must run at most once.
 *
 * <pre>{@code
 * Tickets tickets = Tickets.signedWith(DeploymentKey.of(secret));
 * String text = tickets.write(ticket);
 * Ticket read = tickets.read(text);
 * }</pre>
 */
package org.ibissaddle.ticket;
