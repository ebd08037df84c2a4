/** How two processes of one proxy, an old one and its successor, know of each other. */
package gorsemast.upgrade;
