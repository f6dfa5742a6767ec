package org.ibissaddle.backend;

/**
 * Load that a server reports with a response.
 *
 * @param running number of running requests
 * @param waiting number of queued requests
 * @param slots maximum number of concurrent requests
 */
public record LoadReport(int running, int waiting, int slots) {}
