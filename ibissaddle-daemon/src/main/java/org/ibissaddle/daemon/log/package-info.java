/** Log events as lines of key=value pairs. */
package org.ibissaddle.daemon.log;
