/** Open-loop load generation: requests start on schedule, regardless of how late earlier responses are. */
package org.ibissaddle.cli.load;
