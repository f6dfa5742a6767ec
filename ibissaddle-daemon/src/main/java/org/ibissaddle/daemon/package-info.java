/** The entry daemon: adapters around the decision library. Start with {@link org.ibissaddle.daemon.Daemon}. */
package org.ibissaddle.daemon;
