/** Runs the gateway binary as operating system processes behind fault-injecting links; see {@link TestFleet}. */
package org.ibissaddle.proof.harness;
