/**
 * Membership and health of instances and backend servers: the platform's fleet list, which lags, is combined with
 * direct observations and with gossip messages from other instances.
 *
 * <p>Start with {@link org.ibissaddle.membership.ControlLoop}, which an adapter drives with events and which returns
 * actions, and {@link org.ibissaddle.membership.Membership}, which holds the membership view.
 */
package org.ibissaddle.membership;
