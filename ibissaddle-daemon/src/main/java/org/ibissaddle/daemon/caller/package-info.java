/**
 * Netty HTTP server for client requests; it bounds the memory of bodies and can refuse requests before reading them.
 */
package org.ibissaddle.daemon.caller;
