// Command lovage-standin is under construction.
package main

func main() {}
