package org.ibissaddle.quarantine;

import java.util.Optional;
import org.ibissaddle.id.Region;

/**
 * Records that a request was in flight at a crash. Instances of a region exchange their marks. Marks of content that is
 * bound to a region never leave that region.
 *
 * @param request fingerprint of the request
 * @param crash the crash
 * @param suspect whether the request was already marked and therefore ran isolated from other marked requests
 * @param atMs time of the mark, epoch milliseconds
 * @param home region that the content is bound to, empty if unbound
 */
public record CrashMark(Fingerprint request, Crash crash, boolean suspect, long atMs, Optional<Region> home) {}
