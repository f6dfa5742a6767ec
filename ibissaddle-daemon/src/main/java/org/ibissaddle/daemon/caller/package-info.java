/** The caller port: HTTP on Netty, with bodies in bounded memory and refusals before the body is read. */
package org.ibissaddle.daemon.caller;
