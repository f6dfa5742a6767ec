/**
 * Who is in the fleet and in which state: the platform's lagging list joined with first-hand observation, spread
 * between instances by small messages.
 *
 * <p>Start with {@link org.ibissaddle.membership.ControlLoop}, which an adapter drives with events and which answers
 * with actions, and {@link org.ibissaddle.membership.Membership}, its beliefs.
 */
package org.ibissaddle.membership;
