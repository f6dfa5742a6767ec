package org.ibissaddle.order;

import java.util.List;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.internal.order.Planner;

/**
 * Decides which orders one instance gives to the engines of its region. A state machine for one thread; it remembers
 * only what it ordered lately, so that a restarted instance may take over.
 *
 * <pre>{@code
 * for (Order order : planner.plan(inputs, nowMs)) {
 *     planner.outcome(order, send(order), nowMs);
 * }
 * }</pre>
 */
public interface OrderPlanner {
    /** Longest pause of a process that destructive orders allow for, milliseconds. */
    long MAX_PAUSE_MS = 300_000;

    /**
     * Creates the planner of an instance.
     *
     * @param self the instance
     * @param region its region
     * @return the planner
     */
    static OrderPlanner create(InstanceId self, Region region) {
        return new Planner(self, region);
    }

    /**
     * Plans the orders that are due.
     *
     * @param inputs published data and beliefs
     * @param nowMs current time, epoch milliseconds
     * @return orders to give now
     */
    List<Order> plan(OrderInputs inputs, long nowMs);

    /**
     * Records what became of an order.
     *
     * @param order the order
     * @param outcome what the engine made of it
     * @param nowMs current time, epoch milliseconds
     */
    void outcome(Order order, OrderOutcome outcome, long nowMs);
}
