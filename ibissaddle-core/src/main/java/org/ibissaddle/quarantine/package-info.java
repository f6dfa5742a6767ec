/**
 * Detects poison requests, which crash the engines that run them. Requests in flight at a crash are marked, and marked
 * requests run isolated from each other. A marked request that crashes an engine while it is the only one in flight is
 * refused; one that completes is cleared.
 *
 * <p>A request that comes again and again, or a prompt part that crashes engines whatever else a prompt holds, is
 * detected by the crashes that it has in common: see {@link org.ibissaddle.quarantine.CrashQuarantine}.
 */
package org.ibissaddle.quarantine;
