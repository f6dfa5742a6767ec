/**
 * Detects poison requests, which crash the engines that run them. Requests in flight at a crash are marked, and marked
 * requests run isolated from each other. A marked request that crashes an engine while it is the only one in flight is
 * refused; one that completes is cleared.
 */
package org.ibissaddle.quarantine;
