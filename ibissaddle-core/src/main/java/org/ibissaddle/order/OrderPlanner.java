package org.ibissaddle.order;

import java.util.List;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.internal.order.DefaultOrderPlanner;

/**
 * Decides which orders one instance sends to the engines of its region. A single-threaded state machine that keeps only
 * soft state about recent orders, so a restarted instance can take over.
 *
 * <pre>{@code
 * for (Order order : planner.plan(inputs, nowMs)) {
 *     planner.recordOutcome(order, send(order), nowMs);
 * }
 * }</pre>
 */
public interface OrderPlanner {
    /** Longest process pause that destructive orders tolerate, milliseconds. */
    long MAX_PAUSE_MS = 300_000;

    /**
     * Creates the planner of an instance.
     *
     * @param self the instance
     * @param region its region
     * @return the planner
     */
    static OrderPlanner create(InstanceId self, Region region) {
        return new DefaultOrderPlanner(self, region);
    }

    /**
     * Plans the orders that are due.
     *
     * @param inputs published data and this instance's view of the fleet
     * @param nowMs current time, epoch milliseconds
     * @return orders to send now
     */
    List<Order> plan(OrderInputs inputs, long nowMs);

    /**
     * Records the result of an order.
     *
     * @param order the order
     * @param outcome the result
     * @param nowMs current time, epoch milliseconds
     */
    void recordOutcome(Order order, OrderOutcome outcome, long nowMs);
}
