/**
 * Tickets for calls that must run at most once. A ticket names the instance and incarnation that may run the call.
 *
 * <pre>{@code
 * Tickets tickets = Tickets.signedWith(DeploymentKey.of(secret));
 * String text = tickets.write(ticket);
 * Ticket read = tickets.read(text);
 * }</pre>
 */
package org.ibissaddle.ticket;
