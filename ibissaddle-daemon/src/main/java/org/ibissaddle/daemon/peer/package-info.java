/**
 * Keeps the release note and the fleet view up to date: runs the control loop, exchanges gossip with peers, and polls
 * the load of backend servers.
 */
package org.ibissaddle.daemon.peer;
