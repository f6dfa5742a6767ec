/**
 * Finds the request that crashes the engines that run it. Requests in flight at a crash are marked; marked requests run
 * apart from each other; one that crashes an engine on its own is refused, one that completes is cleared.
 */
package org.ibissaddle.quarantine;
