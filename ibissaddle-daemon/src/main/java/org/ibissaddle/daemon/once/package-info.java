/** Calls to plain services: tickets, calls that must be executed at most once, and retryable calls. */
package org.ibissaddle.daemon.once;
