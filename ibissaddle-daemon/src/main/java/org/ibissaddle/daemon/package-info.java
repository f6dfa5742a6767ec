/**
 * The gateway daemon: network and thread adapters around the decision library. The entry point is
 * {@link org.ibissaddle.daemon.Daemon}.
 */
package org.ibissaddle.daemon;
