package org.ibissaddle.daemon.path;

import java.util.ArrayList;
import java.util.List;
import org.ibissaddle.daemon.caller.RequestHead;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.id.InvalidIdentifierException;
import org.ibissaddle.id.Region;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;

/** Parses and formats the header field that lists the instances, with their regions, that have forwarded a request. */
public final class ForwardingHops {
    private ForwardingHops() {}

    /**
     * Returns the regions that have forwarded a request.
     *
     * @param head request line and header fields
     * @param here region of this instance
     * @return regions in forwarding order; empty if the request was not forwarded or only within this region
     * @throws RefusedException if the field is malformed
     */
    public static List<Region> forwardingRegions(RequestHead head, Region here) throws RefusedException {
        List<Region> regions = new ArrayList<>();
        for (String hop : head.header(GatewayHeaders.HOP).orElse("").split(",", -1)) {
            if (hop.isBlank()) {
                continue;
            }
            regions.add(parseRegion(hop.trim()));
        }
        boolean onlyThisRegion = regions.stream().allMatch(here::equals);
        return onlyThisRegion ? List.of() : regions;
    }

    /**
     * Returns the field value that identifies an instance.
     *
     * @param settings settings of the instance
     * @return the value of the header field
     */
    public static String format(Settings settings) {
        return settings.instance() + ";" + settings.region();
    }

    private static Region parseRegion(String hop) throws RefusedException {
        try {
            return new Region(hop.substring(hop.indexOf(';') + 1));
        } catch (InvalidIdentifierException e) {
            String message =
                    "header field \"" + GatewayHeaders.HOP + "\" does not contain a valid region name: \"" + hop + "\"";
            throw new RefusedException(Refusal.of(RefusalType.MALFORMED_REQUEST, message, ExecutionStatus.NOT_RUN));
        }
    }
}
