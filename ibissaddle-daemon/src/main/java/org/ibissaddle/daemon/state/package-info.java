/** The active release note and the fleet view, shared between threads as immutable snapshots. */
package org.ibissaddle.daemon.state;
