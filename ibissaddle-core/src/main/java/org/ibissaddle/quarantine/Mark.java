package org.ibissaddle.quarantine;

import java.util.Optional;
import org.ibissaddle.id.Region;

/**
 * A request that was in flight at a crash. Instances of a region send each other their marks; marks of bound content
 * never leave the home region.
 *
 * @param request fingerprint of the request
 * @param crash the crash
 * @param suspect whether it was marked before, and so ran apart from other marked requests
 * @param atMs when it was marked, epoch milliseconds
 * @param home region that the content is bound to; empty when unbound
 */
public record Mark(Fingerprint request, Crash crash, boolean suspect, long atMs, Optional<Region> home) {}
