/**
 * Orders to engines: which model versions and adapters each should hold, who tells it, and when.
 *
 * <p>Start with {@link org.ibissaddle.order.OrderPlanner}.
 */
package org.ibissaddle.order;
