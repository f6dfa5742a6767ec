/**
 * Routing of requests to services, and the limits and retry rules that apply to them.
 *
 * <p>Start with {@link org.ibissaddle.route.Configuration}.
 */
package org.ibissaddle.route;
