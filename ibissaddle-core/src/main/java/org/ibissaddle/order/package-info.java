/**
 * Planning of orders to engines: which model versions and adapters each engine should hold, which instance sends the
 * orders, and when.
 *
 * <p>Start with {@link org.ibissaddle.order.OrderPlanner}.
 */
package org.ibissaddle.order;
