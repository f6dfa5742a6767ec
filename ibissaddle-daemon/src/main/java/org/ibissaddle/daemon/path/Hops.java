package org.ibissaddle.daemon.path;

import java.util.ArrayList;
import java.util.List;
import org.ibissaddle.daemon.caller.RequestHead;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.id.InvalidNameException;
import org.ibissaddle.id.Region;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;

/** Reads and writes the header field that names the instances and regions that a request has passed. */
public final class Hops {
    private Hops() {}

    /**
     * Lists the regions that sent a request on to this region.
     *
     * @param head start line and header fields
     * @param here region of this instance
     * @return regions, first one first; empty when it came from its caller or by way of this region alone
     * @throws RefusedException when the field is malformed
     */
    public static List<Region> visited(RequestHead head, Region here) throws RefusedException {
        List<Region> regions = new ArrayList<>();
        for (String hop : head.header(Headers.HOP).orElse("").split(",", -1)) {
            if (hop.isBlank()) {
                continue;
            }
            regions.add(region(hop.trim()));
        }
        boolean withinRegion = regions.stream().allMatch(here::equals);
        return withinRegion ? List.of() : regions;
    }

    /**
     * Writes the hop of an instance.
     *
     * @param settings settings of the instance
     * @return the value of the header field
     */
    public static String of(Settings settings) {
        return settings.instance() + ";" + settings.region();
    }

    private static Region region(String hop) throws RefusedException {
        try {
            return new Region(hop.substring(hop.indexOf(';') + 1));
        } catch (InvalidNameException e) {
            String message = "header field \"" + Headers.HOP + "\" names no region: \"" + hop + "\"";
            throw new RefusedException(Refusal.of(RefusalType.MALFORMED_REQUEST, message, Fate.NOT_RUN));
        }
    }
}
