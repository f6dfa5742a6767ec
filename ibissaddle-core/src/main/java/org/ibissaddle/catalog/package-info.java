/**
 * Local copy of the state that the platform publishes: servers, configuration and evacuations.
 *
 * <p>Start with {@link org.ibissaddle.catalog.Catalog}.
 */
package org.ibissaddle.catalog;
