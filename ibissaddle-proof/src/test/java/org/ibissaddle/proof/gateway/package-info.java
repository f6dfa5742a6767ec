/** Runs the gateway role as real processes between stand-ins that fail at random. */
package org.ibissaddle.proof.gateway;
