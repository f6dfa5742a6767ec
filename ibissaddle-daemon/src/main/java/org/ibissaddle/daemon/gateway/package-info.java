/**
 * A gateway instance on the platform: one event loop forwards requests from callers to backend servers and their
 * responses back. All routing decisions are made on that event loop.
 *
 * <p>Start with {@link org.ibissaddle.daemon.gateway.Gateway}.
 */
package org.ibissaddle.daemon.gateway;
