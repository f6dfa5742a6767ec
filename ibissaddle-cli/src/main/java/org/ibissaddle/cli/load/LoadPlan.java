package org.ibissaddle.cli.load;

import java.util.List;
import org.ibissaddle.id.Address;

/**
 * Parameters of a load test.
 *
 * @param mix requests to send and their frequencies
 * @param controls control addresses that resolve instances, used round-robin
 * @param perSecond mean arrival rate in requests per second
 * @param seconds duration of the arrivals in seconds
 * @param seed seed of the random generator
 */
public record LoadPlan(WorkloadMix mix, List<Address> controls, double perSecond, int seconds, long seed) {
    /** Creates a plan with an unmodifiable copy of the addresses. */
    public LoadPlan {
        controls = List.copyOf(controls);
    }
}
