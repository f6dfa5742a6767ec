package org.ibissaddle.cli.load;

import java.util.List;
import org.ibissaddle.id.Address;

/**
 * What load to send.
 *
 * @param mix what the callers send
 * @param controls control addresses that are asked in turn
 * @param perSecond mean of requests that start in a second
 * @param seconds for how long requests start
 * @param seed seed of all chance
 */
public record LoadPlan(Mix mix, List<Address> controls, double perSecond, int seconds, long seed) {
    /** Copies the addresses. */
    public LoadPlan {
        controls = List.copyOf(controls);
    }
}
