/** Logging of events as one line of key=value pairs each. */
package org.ibissaddle.daemon.log;
