/**
 * State of the backend servers as observed by one instance (load, failures, cold starts) and server selection.
 *
 * <p>Start with {@link org.ibissaddle.backend.BackendRegistry}.
 */
package org.ibissaddle.backend;
