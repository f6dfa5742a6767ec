/** Keeps the note and the beliefs up to date: runs the control loop, talks to peers, asks servers for their load. */
package org.ibissaddle.daemon.peer;
